#pragma once

#include <cstdint>
#include <optional>

#include "Common/Ids.h"
#include "Common/Units.h"

namespace Common {

/// The parts of a request id. An entry never uses a sequence number twice in one incarnation, and
/// each attempt has its own number, so that an agent can tell attempts of one request apart.
struct RequestName
{
  InstanceId mEntry;
  Incarnation mIncarnation;
  std::uint64_t mSequence = 0;
  std::uint32_t mAttempt = 1;

  bool operator==(const RequestName&) const = default;
};

/// `entry/incarnation/sequence/attempt`; the entry's name may itself contain slashes.
RequestId
FormatRequestId(const RequestName& aName);

/// Nothing if the id was not written by FormatRequestId.
std::optional<RequestName>
ParseRequestId(const RequestId& aId);

} // namespace Common
