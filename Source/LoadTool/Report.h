#pragma once

#include <string>

#include "LoadTool/Load.h"

namespace LoadTool {

/// One JSON object: counts, rates a second, and latencies in microseconds.
std::string
JsonReport(const LoadConfig& aConfig, const LoadResult& aResult);

/// The same in a few lines of text.
std::string
TextReport(const LoadConfig& aConfig, const LoadResult& aResult);

} // namespace LoadTool
