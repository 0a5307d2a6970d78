#pragma once

#include <string>

#include "Store/StorePort.h"

namespace Store {

/// Swaps aKey to aValue and repeats the call while its answer is lost, a few times. Reading back
/// settles the result: another version with the same value means that the write took effect, so
/// aValue must differ between writers. Conflict: the key moved on, now or after the write. Unknown:
/// the write may still take effect.
Result<Version>
SwapSettled(StorePort& aStore,
            const std::string& aKey,
            Version aExpected,
            const std::string& aValue);

} // namespace Store
