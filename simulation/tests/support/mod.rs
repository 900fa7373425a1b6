//! A small plan for tests.

/// A plan with two classes, two organisations and one load pattern of each kind.
pub(crate) const PLAN: &str = r#"
[day]
length_s = 10.0
finish_s = 5.0

[instances]
count = 2
caller_delay_ms = 1.0
server_delay_ms = 0.5

[[class]]
name = "chat"
priority = 0
kind = "stream"
rate = [[0.0, 10.0], [2.0, 30.0]]
repeat_s = 4.0
target_ms = 300
pause_ms = 250
deadline_ms = 5000
worth = 6.0
late_worth = 1.0
prompt_tokens = { mean = 300, spread = 0.3, max = 600 }
output_events = { mean = 30, spread = 0.25, max = 50 }
tokens_per_event = 5

[[class]]
name = "sheets"
priority = 2
kind = "batch"
rate = [[0.0, 1.0]]
items = { mean = 5, spread = 0.4, max = 9 }
due_s = 8.0
deadline_ms = 20000
worth = 30.0
late_worth = 3.0
prompt_tokens = { mean = 300 }
output_events = { mean = 100, spread = 0.2 }
tokens_per_event = 5

[[organisation]]
name = "north"
share = 2.0
rate = 20.0
burst = 9.0

[[organisation]]
name = "south"
share = 1.0

[[servers]]
name = "engines"
count = 4
slots = 4
queue = 8
step_ms = 3.0
step_ms_per_running = 0.05
prompt_tokens_per_ms = 60.0
memory_tokens = 100000

[[load]]
kind = "burst"
class = "all"
factor = 3.0
from_s = 4.0
to_s = 6.0

[[load]]
kind = "hot-organisation"
organisation = "south"
factor = 5.0
from_s = 5.0
to_s = 7.0

[[load]]
kind = "slow-servers"
share = 0.5
factor = 5.0
from_s = 3.0
to_s = 8.0
"#;
