#pragma once

#include "Scheduling/State.h"
#include "Store/AsyncStore.h"
#include "Wire/Codec.h"

/// Conversions between the types of the scheduling code and those of stored records and messages.
namespace Node {

Wire::JobRecord
ToRecord(const Scheduling::JobSpec& aJob);
Scheduling::JobSpec
FromRecord(const Wire::JobRecord& aRecord);
Wire::ProgressRecord
ToRecord(const Scheduling::Progress& aProgress);
Scheduling::Progress
FromRecord(const Wire::ProgressRecord& aRecord);
Wire::TaskName
ToWire(const Scheduling::TaskName& aTask);
Scheduling::TaskName
FromWire(const Wire::TaskName& aTask);
Wire::WorkerView
ToWire(const Scheduling::WorkerView& aView);
Scheduling::WorkerView
FromWire(const Wire::WorkerView& aView, const Common::DataCentreId& aDataCentre);
/// Returns the learned interference between images and the learned run times.
Wire::ModelRecord
ToModelRecord(const Scheduling::SchedulerState& aState);
/// Restores what ToModelRecord() saved.
void
RestoreModel(Scheduling::SchedulerState& aState, const Wire::ModelRecord& aRecord);
Wire::Life
ToWire(const Scheduling::EndedLifetime& aEnded);
Scheduling::EndedLifetime
FromWire(const Wire::Life& aLife);
Wire::Order
ToWire(const Scheduling::Order& aOrder, const std::string& aPayload);
Scheduling::Order
FromWire(const Wire::Order& aOrder);
Wire::Question
ToWire(const Scheduling::AdviceRequest& aRequest, Common::Duration aTimeout);
Wire::AdviceAnswer
ToWire(std::int64_t aNumber, const std::optional<Scheduling::Advice>& aAdvice);
/// Omits erasures and leases, which are not relayed.
Wire::RelayedWrite
ToWire(std::int64_t aNumber, const Store::Transaction& aTransaction);
Store::Transaction
FromWire(const Wire::RelayedWrite& aWrite);
Wire::RelayedResult
ToWire(std::int64_t aNumber, const tl::expected<Store::Version, Store::WriteFailure>& aResult);
/// The entries of a conflict have versions but no values.
tl::expected<Store::Version, Store::WriteFailure>
FromWire(const Wire::RelayedResult& aResult);
/// Returns std::nullopt if the advice service did not answer.
std::optional<Scheduling::Advice>
FromWire(const Wire::AdviceAnswer& aAnswer);

} // namespace Node
