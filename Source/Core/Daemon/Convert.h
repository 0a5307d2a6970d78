#pragma once

#include <string>
#include <vector>

#include <Ibisshed_types.h>

#include "Common/Outcome.h"
#include "Common/Units.h"
#include "Dispatch/IdempotencyKeys.h"
#include "Dispatch/Replies.h"
#include "Http/Message.h"
#include "Jobs/Model.h"
#include "Metering/Metering.h"
#include "Observability/TraceContext.h"

/// Conversions between the messages on the wire and the types of the libraries.
namespace Daemon {

Common::Resources
ToResources(const Rpc::Generated::ResourceAmounts& aAmounts);
Rpc::Generated::ResourceAmounts
FromResources(const Common::Resources& aResources);

Rpc::Generated::Outcome::type
ToWire(Common::Outcome aOutcome);
Rpc::Generated::RefusalReason::type
ToWire(Common::Refusal aReason);
Common::Outcome
FromWire(Rpc::Generated::Outcome::type aOutcome);
Common::Refusal
FromWire(Rpc::Generated::RefusalReason::type aReason);

Rpc::Generated::ExecuteReply
RefusedReply(Common::Refusal aReason,
             const std::string& aDetail,
             Common::Duration aRetryAfter = {});

/// The result of a call as the dispatch decisions see it.
Dispatch::CallResult
ResultOf(const Rpc::Generated::ExecuteReply& aReply);

/// Bytes of the reply for storage, and back. Damaged bytes give a reply with outcome unknown.
std::string
EncodeReply(const Rpc::Generated::ExecuteReply& aReply);
Rpc::Generated::ExecuteReply
DecodeReply(const std::string& aBytes);

Rpc::Generated::TraceContext
ToWire(const Observability::TraceContext& aContext);
std::optional<Observability::TraceContext>
FromWire(const Rpc::Generated::TraceContext& aTrace);

std::vector<Rpc::Generated::UsageRecord>
ToWire(const Metering::UsageTable& aUse);
Metering::UsageTable
FromWire(const std::vector<Rpc::Generated::UsageRecord>& aRecords);

/// Words for people, for example "no capacity".
std::string
TextOf(Common::Refusal aReason);

} // namespace Daemon
