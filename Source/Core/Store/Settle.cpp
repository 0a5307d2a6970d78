#include "Store/Settle.h"

namespace Store {

namespace {

constexpr int kAttempts = 4;

} // namespace

Result<Version>
SwapSettled(StorePort& aStore,
            const std::string& aKey,
            Version aExpected,
            const std::string& aValue)
{
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    auto written = aStore.compareAndSwap(aKey, aExpected, aValue);
    if (written || written.error() == StoreError::TooLarge) {
      return written;
    }
    if (attempt == 0 && written.error() != StoreError::Unknown) {
      return written;
    }
    const auto seen = aStore.read(aKey);
    if (!seen) {
      continue;
    }
    const Version version = *seen ? (*seen)->mVersion : Version();
    if (version == aExpected) {
      continue;
    }
    if (*seen && (*seen)->mValue == aValue) {
      return version;
    }
    return tl::unexpected(StoreError::Conflict);
  }
  return tl::unexpected(StoreError::Unknown);
}

} // namespace Store
