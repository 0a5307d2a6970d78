#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/Units.h"

/// The record of a cell in the store.
namespace Ownership {

/// One agent process. A restarted one is another member.
struct RosterMember
{
  Common::InstanceId mInstance;
  Common::Incarnation mIncarnation;
  /// Numeric address and port, where the owner reaches it.
  std::string mAddress;

  bool operator==(const RosterMember&) const = default;
};

struct CellRecord
{
  /// 0 stands for a cell that never had an owner.
  Common::Epoch mEpoch;
  RosterMember mOwner;
  /// Identifies the run of the owner's process.
  std::string mWriterToken;
  /// Rises with each write.
  std::int64_t mSerial = 0;
  /// Instance that should take the cell next, after a graceful stop; usually none.
  Common::InstanceId mSuccessor;
  /// In order of the instance names, each at most once.
  std::vector<RosterMember> mRoster;

  bool operator==(const CellRecord&) const = default;
};

std::string
EncodeCell(const CellRecord& aRecord);
std::optional<CellRecord>
DecodeCell(const std::string& aText);

/// Key of the cell record. It hangs on no lease, because a lapsed lease erases its keys and the
/// epoch must stay.
std::string
CellKey(const Common::CellId& aCell);

/// Key that exists while the owner's lease does; its value is the owner's writer token.
std::string
CellLeaseKey(const Common::CellId& aCell);

} // namespace Ownership
