#pragma once

#include "Store/SegmentCodec.h"

/// Access to the head record of a segment log; internal to the Store library.
namespace Store {

struct LoadedHead
{
  HeadRecord mRecord;
  /// 0 if the log has no head record yet.
  Version mVersion;
};

/// What a failed store call means for the log.
LogError
ToLogError(StoreError aError);

tl::expected<LoadedHead, LogError>
LoadHead(StorePort& aStore, const std::string& aPrefix);

/// Writes the head record for aWriter with a new serial number. From then on nobody who loaded an
/// earlier version can move it. Conflict is reported as Deposed.
tl::expected<void, LogError>
StoreHead(StorePort& aStore, const LogWriter& aWriter, LoadedHead& aHead);

} // namespace Store
