#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Common/Random.h"
#include "Placement/WorkerIndex.h"

/// Choice of a worker for one task.
namespace Placement {

/// Tasks of the same job that stand in a rack already.
struct RackTaskCount
{
  std::uint16_t mRackNumber = 0;
  std::uint16_t mTaskCount = 0;
};

struct TaskRequest
{
  ReservationId mReservationId = 0;
  Resources mNeed;
  /// Labels that the worker must all have.
  std::span<const std::string> mLabels;
  std::span<const RackTaskCount> mJobTasksPerRack;
  /// Data centre that holds the task's input or checkpoint; 0 means no preference.
  std::uint16_t mPreferredDataCentre = 0;
  /// Expected slow-down on the worker, 0 for none and 1 for twice the run time; may be empty.
  const std::function<double(WorkerNumber)>* mInterferenceCost = nullptr;
};

/// Weights of the terms of the cost; each term is about 0 to 1.
struct CostWeights
{
  /// Room left over after the placement: low leaves whole workers free for large tasks.
  float mPacking = 1.0F;
  /// Difference between the parts of cores and of memory that are left, which strands one of them.
  float mBalance = 0.5F;
  float mRackSpread = 0.3F;
  float mLocality = 0.4F;
  float mInterference = 1.5F;
};

struct PlacementPolicy
{
  std::uint32_t mCandidateCount = 8;
  /// Workers that the search in buckets at the edge of the need looks at. It exceeds the size of a
  /// cell, so that the search there is complete.
  std::uint32_t mSearchBudget = 512;
  CostWeights mWeights;
};

/// Chooses a worker with room for the need and reserves it there. Nothing if no worker was found.
std::optional<WorkerNumber>
PlaceTask(WorkerIndex& aIndex,
          const TaskRequest& aRequest,
          const PlacementPolicy& aPolicy,
          Common::Random& aRandom);

/// The same choice from all workers of the index; the baseline that PlaceTask is measured against.
std::optional<WorkerNumber>
PlaceByScan(WorkerIndex& aIndex, const TaskRequest& aRequest, const PlacementPolicy& aPolicy);

} // namespace Placement
