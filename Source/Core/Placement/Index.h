#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Ids.h"
#include "Common/Units.h"

/// Workers with their free room, indexed for sampled placement.
namespace Placement {

using Common::Resources;

/// Number of a worker in one index; reused after the worker is removed.
using WorkerNumber = std::uint32_t;
constexpr WorkerNumber kNoWorker = UINT32_MAX;

/// Names one reservation; the caller derives it from task and attempt.
using Ticket = std::uint64_t;

struct WorkerInfo
{
  Common::WorkerId mName;
  Common::RackId mRack;
  Common::DataCentreId mDataCentre;
  std::vector<std::string> mLabels;
  Resources mTotal;
};

enum class Gate : std::uint8_t
{
  Open,
  /// Leaving, silent or quarantined: gets no task.
  Closed,
  /// Gets one task, and is closed again by it.
  Probe,
};

struct Reservation
{
  Ticket mTicket = 0;
  Resources mNeed;
};

/// The part of a worker that placement reads for each candidate; small, so that the whole fleet
/// stays in the processor's cache.
struct HotWorker
{
  /// Free room in millicores and KiB, rounded down.
  std::uint32_t mCores = 0;
  std::uint32_t mMemory = 0;
  std::uint32_t mTotalCores = 0;
  std::uint32_t mTotalMemory = 0;
  std::uint16_t mAccelerators = 0;
  std::uint16_t mRack = 0;
  std::uint16_t mDataCentre = 0;
  std::uint16_t mClass = 0;
  std::uint32_t mPlaceInBucket = 0;
  std::uint16_t mBucket = 0;
  Gate mGate = Gate::Closed;
  bool mListed = false;
};

/// The rest of a worker. What a reservation changes comes first and shares one cache line.
struct alignas(64) ColdWorker
{
  /// Free room as reported, less the reservations.
  Resources mFree;
  std::vector<Reservation> mReservations;
  std::uint32_t mPlaceInClass = 0;
  WorkerInfo mInfo;
};

constexpr std::uint32_t kCoreLevels = 24;
constexpr std::uint32_t kMemoryLevels = 16;
constexpr std::uint32_t kAcceleratorLevels = 5;
constexpr std::uint32_t kBuckets = kCoreLevels * kMemoryLevels * kAcceleratorLevels;

/// Open workers with the same set of labels.
struct LabelClass
{
  std::vector<std::string> mLabels;
  std::vector<WorkerNumber> mMembers;
  std::vector<std::vector<WorkerNumber>> mBuckets;
  /// Bit m of [accelerator level][core level] is set if the bucket of memory level m has members.
  std::array<std::array<std::uint16_t, kCoreLevels>, kAcceleratorLevels> mFilled{};
};

struct Index
{
  std::vector<HotWorker> mHot;
  std::vector<ColdWorker> mCold;
  std::vector<WorkerNumber> mFreeNumbers;
  std::unordered_map<Common::WorkerId, WorkerNumber> mNumbers;
  std::vector<LabelClass> mClasses;
  std::unordered_map<std::string, std::uint16_t> mClassIndex;
  /// Classes that have all labels of a query, by the joined labels.
  std::unordered_map<std::string, std::vector<std::uint16_t>> mQueries;
  std::unordered_map<Common::RackId, std::uint16_t> mRacks;
  std::unordered_map<Common::DataCentreId, std::uint16_t> mDataCentres;
};

/// Adds a worker, or changes its labels, place and total. A new worker is open and wholly free.
WorkerNumber
SetWorker(Index& aIndex, const WorkerInfo& aInfo);

void
RemoveWorker(Index& aIndex, const Common::WorkerId& aName);

/// kNoWorker if the name is not known.
WorkerNumber
FindWorker(const Index& aIndex, const Common::WorkerId& aName);

const Common::WorkerId&
NameOf(const Index& aIndex, WorkerNumber aWorker);

void
SetGate(Index& aIndex, WorkerNumber aWorker, Gate aGate);

/// Takes the free room that the agent reported. aOutstanding are the tickets of tasks which the
/// report does not contain yet; other reservations of the worker are dropped.
void
ReportFree(Index& aIndex,
           WorkerNumber aWorker,
           const Resources& aFree,
           const std::vector<Ticket>& aOutstanding);

/// Reserves room on the worker, whether it fits or not; PlaceTask does this for its choice.
void
Reserve(Index& aIndex, WorkerNumber aWorker, Ticket aTicket, const Resources& aNeed);

/// Gives a reservation back, for example after a refusal. Does nothing if there is none.
void
Release(Index& aIndex, WorkerNumber aWorker, Ticket aTicket);

/// Free room after reservations.
Resources
FreeOf(const Index& aIndex, WorkerNumber aWorker);

/// Number of a rack or data centre in the index; 0 if it is not known.
std::uint16_t
RackNumber(const Index& aIndex, const Common::RackId& aRack);
std::uint16_t
DataCentreNumber(const Index& aIndex, const Common::DataCentreId& aDataCentre);

/// Classes whose workers have all of aLabels.
const std::vector<std::uint16_t>&
ClassesFor(Index& aIndex, const std::vector<std::string>& aLabels);

/// Levels rise with the amount; each covers a factor of about 1.4 (cores) or 2 (memory).
std::uint32_t
CoreLevel(std::uint32_t aMilliCores);
std::uint32_t
MemoryLevel(std::uint32_t aKiB);
std::uint32_t
AcceleratorLevel(std::uint32_t aCount);

constexpr std::uint32_t
BucketOf(std::uint32_t aAccelerators, std::uint32_t aCores, std::uint32_t aMemory)
{
  return (aAccelerators * kCoreLevels + aCores) * kMemoryLevels + aMemory;
}

} // namespace Placement
