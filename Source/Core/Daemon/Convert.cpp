#include "Daemon/Convert.h"

#include <array>

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Daemon {

namespace Wire = Rpc::Generated;

Common::Resources
ToResources(const Wire::ResourceAmounts& aAmounts)
{
  return { Common::MilliCores(aAmounts.milliCores),
           Common::Bytes(aAmounts.memoryBytes),
           Common::Accelerators(aAmounts.accelerators) };
}

Wire::ResourceAmounts
FromResources(const Common::Resources& aResources)
{
  Wire::ResourceAmounts amounts;
  amounts.milliCores = aResources.mCores.value();
  amounts.memoryBytes = aResources.mMemory.value();
  amounts.accelerators = aResources.mAccelerators.value();
  return amounts;
}

Wire::Outcome::type
ToWire(Common::Outcome aOutcome)
{
  return static_cast<Wire::Outcome::type>(aOutcome);
}

Wire::RefusalReason::type
ToWire(Common::Refusal aReason)
{
  return static_cast<Wire::RefusalReason::type>(aReason);
}

Common::Outcome
FromWire(Wire::Outcome::type aOutcome)
{
  // A value that this release does not know must not be taken for a definite one.
  return aOutcome == Wire::Outcome::Ran || aOutcome == Wire::Outcome::NotRun
           ? static_cast<Common::Outcome>(aOutcome)
           : Common::Outcome::Unknown;
}

Common::Refusal
FromWire(Wire::RefusalReason::type aReason)
{
  return static_cast<Common::Refusal>(aReason);
}

Wire::ExecuteReply
RefusedReply(Common::Refusal aReason, const std::string& aDetail, Common::Duration aRetryAfter)
{
  Wire::ExecuteReply reply;
  reply.outcome = Wire::Outcome::NotRun;
  reply.reason = ToWire(aReason);
  reply.detail = aDetail;
  reply.retryAfterMicros = aRetryAfter.count();
  return reply;
}

Dispatch::CallResult
ResultOf(const Wire::ExecuteReply& aReply)
{
  Dispatch::CallResult result;
  result.mDelivery = Dispatch::Delivery::Answered;
  result.mOutcome = FromWire(aReply.outcome);
  result.mReason = FromWire(aReply.reason);
  result.mIncarnation = Common::Incarnation(aReply.incarnation);
  result.mInProgress = aReply.inProgress;
  result.mRetryAfter = Common::Duration(aReply.retryAfterMicros);
  return result;
}

std::string
EncodeReply(const Wire::ExecuteReply& aReply)
{
  const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TBinaryProtocol protocol(buffer);
  aReply.write(&protocol);
  return buffer->getBufferAsString();
}

Wire::ExecuteReply
DecodeReply(const std::string& aBytes)
{
  Wire::ExecuteReply reply;
  try {
    std::string bytes = aBytes;
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
      reinterpret_cast<std::uint8_t*>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
    apache::thrift::protocol::TBinaryProtocol protocol(buffer);
    reply.read(&protocol);
  } catch (const std::exception&) {
    reply = Wire::ExecuteReply();
    reply.outcome = Wire::Outcome::Unknown;
  }
  return reply;
}

Wire::TraceContext
ToWire(const Observability::TraceContext& aContext)
{
  Wire::TraceContext trace;
  trace.traceParent = Observability::FormatTraceParent(aContext);
  return trace;
}

std::optional<Observability::TraceContext>
FromWire(const Wire::TraceContext& aTrace)
{
  return Observability::ParseTraceParent(aTrace.traceParent);
}

std::vector<Wire::UsageRecord>
ToWire(const Metering::UsageTable& aUse)
{
  std::vector<Wire::UsageRecord> records;
  records.reserve(aUse.size());
  for (const auto& [key, use] : aUse) {
    Wire::UsageRecord record;
    record.team = key.mTeam.str();
    record.client = key.mClient.str();
    record.route = key.mRoute.str();
    record.microPrice = key.mPrice.value();
    record.count = use.mCount;
    record.slotMicros = use.mSlotMicros;
    record.coreMicros = use.mCoreMicros;
    records.push_back(std::move(record));
  }
  return records;
}

Metering::UsageTable
FromWire(const std::vector<Wire::UsageRecord>& aRecords)
{
  Metering::UsageTable table;
  for (const Wire::UsageRecord& record : aRecords) {
    const Metering::UsageKey key{ Common::TeamId(record.team),
                                  Common::ClientId(record.client),
                                  Common::RouteId(record.route),
                                  Common::MicroPrice(record.microPrice) };
    table[key] += Metering::Usage{ record.count, record.slotMicros, record.coreMicros };
  }
  return table;
}

std::string
TextOf(Common::Refusal aReason)
{
  static constexpr std::array<const char*, 12> kTexts = {
    "not run",
    "no capacity",
    "the deadline is too close",
    "the instance is leaving",
    "the instance was restarted",
    "a newer cell owner exists",
    "the instance is not the cell owner",
    "no tables are in force",
    "no route matches",
    "the store is unavailable",
    "the request is invalid",
    "throttled",
  };
  const auto index = static_cast<std::size_t>(aReason);
  return index < kTexts.size() ? kTexts[index] : "refused";
}

} // namespace Daemon
