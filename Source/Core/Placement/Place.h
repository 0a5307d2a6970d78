#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Common/Random.h"
#include "Placement/Index.h"

/// Choice of a worker for one task.
namespace Placement {

/// Tasks of the same job that stand in a rack already.
struct RackCount
{
  std::uint16_t mRack = 0;
  std::uint16_t mTasks = 0;
};

struct Request
{
  Ticket mTicket = 0;
  Resources mNeed;
  /// Labels that the worker must all have.
  std::span<const std::string> mLabels;
  std::span<const RackCount> mRacks;
  /// Data centre that holds the task's input or checkpoint; 0 means no preference.
  std::uint16_t mDataCentre = 0;
  /// Expected slow-down on the worker, 0 for none and 1 for twice the run time; may be empty.
  const std::function<double(WorkerNumber)>* mInterference = nullptr;
};

/// Weights of the terms of the cost; each term is about 0 to 1.
struct Weights
{
  /// Room left over after the placement: low leaves whole workers free for large tasks.
  float mPacking = 1.0F;
  /// Difference between the parts of cores and of memory that are left, which strands one of them.
  float mBalance = 0.5F;
  float mRack = 0.3F;
  float mLocality = 0.4F;
  float mInterference = 1.5F;
};

struct Policy
{
  std::uint32_t mCandidates = 8;
  /// Workers that the search in buckets at the edge of the need looks at. It exceeds the size of a
  /// cell, so that the search there is complete.
  std::uint32_t mSearchBudget = 512;
  Weights mWeights;
};

/// Chooses a worker with room for the need and reserves it there. Nothing if no worker was found.
std::optional<WorkerNumber>
PlaceTask(Index& aIndex, const Request& aRequest, const Policy& aPolicy, Common::Random& aRandom);

/// The same choice from all workers of the index; the baseline that PlaceTask is measured against.
std::optional<WorkerNumber>
PlaceByScan(Index& aIndex, const Request& aRequest, const Policy& aPolicy);

} // namespace Placement
