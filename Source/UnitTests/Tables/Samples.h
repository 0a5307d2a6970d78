#pragma once

#include <string>

/// A valid pair of tables that the tests start from.
namespace TablesTests {

inline const std::string kRoutes = R"([[route]]
name = "quotes"
pool = "front"
urgency = "interactive"
deadline_ms = 800
price_micro = 120
idempotent = true
hedge = true
[route.match]
host = "Quotes.Example"
path_prefix = "/quotes/"
methods = ["POST", "GET"]
headers = { "X-Kind" = "quick" }

[[route]]
name = "renders"
kind = "batch"
pool = "back"
urgency = "patient"
deadline_ms = 28800000
price_micro = 7
max_attempts = 3

[[route]]
name = "watches"
kind = "watch"
pool = "back"
urgency = "standard"
restart = "never"
)";

inline const std::string kPools = R"([[pool]]
name = "front"
data_centres = ["dc1", "dc2"]
labels = ["web"]
[pool.per_worker]
slots = 8
connections = 60
[pool.min_share_percent]
interactive = 60
patient = 10

[[pool]]
name = "back"
data_centres = ["dc1"]
per_worker = { milli_cores = 14000, memory_mib = 50000, accelerators = 2 }

[[team]]
name = "sales"
weight = 3
quota = { milli_cores = 64000, memory_mib = 256000, slots = 20 }

[[client]]
name = "shop"
team = "sales"
home = "dc2"
)";

/// aText with the first aOld replaced by aNew; aText must contain aOld.
inline std::string
Replaced(std::string aText, const std::string& aOld, const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

} // namespace TablesTests
