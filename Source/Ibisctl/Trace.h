#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace Ibisctl {

/// The spans of a trace as a tree, children under their parents in order of their start: time since
/// the start of the trace, duration, name, instance and tags. Spans whose parent is missing are
/// roots.
std::string
RenderTrace(const nlohmann::json& aAnswer);

} // namespace Ibisctl
