#pragma once

#include <cstdint>

namespace SchedulingTests {

/// Bytes that the program has allocated with operator new and not freed.
std::int64_t
HeapBytes();

} // namespace SchedulingTests
