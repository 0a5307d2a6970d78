#include "Store/SegmentHead.h"

#include "Store/Settle.h"

namespace Store {

LogError
ToLogError(StoreError aError)
{
  switch (aError) {
    case StoreError::Conflict:
      return LogError::Deposed;
    case StoreError::Unknown:
      return LogError::Unknown;
    case StoreError::TooLarge:
      return LogError::TooLarge;
    case StoreError::LeaseLapsed:
    case StoreError::Unavailable:
      break;
  }
  return LogError::Unavailable;
}

tl::expected<LoadedHead, LogError>
LoadHead(StorePort& aStore, const std::string& aPrefix)
{
  const auto entry = aStore.read(HeadKey(aPrefix));
  if (!entry) {
    return tl::unexpected(LogError::Unavailable);
  }
  if (!*entry) {
    return LoadedHead{};
  }
  auto record = DecodeHead((*entry)->mValue);
  if (!record) {
    return tl::unexpected(LogError::Damaged);
  }
  return LoadedHead{ std::move(*record), (*entry)->mVersion };
}

tl::expected<void, LogError>
StoreHead(StorePort& aStore, const LogWriter& aWriter, LoadedHead& aHead)
{
  aHead.mRecord.mEpoch = aWriter.mEpoch;
  aHead.mRecord.mWriterToken = aWriter.mToken;
  ++aHead.mRecord.mSerial;
  const auto written =
    SwapSettled(aStore, HeadKey(aWriter.mPrefix), aHead.mVersion, EncodeHead(aHead.mRecord));
  if (!written) {
    return tl::unexpected(ToLogError(written.error()));
  }
  aHead.mVersion = *written;
  return {};
}

} // namespace Store
