#pragma once

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "Bench/Measure.h"
#include "LoadTool/Load.h"
#include "ProcessBench/Child.h"

namespace ProcessBench {

struct FleetOptions
{
  int mServiceMillis = 0;
};

/// One entry, one agent, one endpoint stand-in and the store stand-in on loopback, with tables that
/// send /urgent and /patient to the endpoint. It has kSlots slots.
class Fleet
{
public:
  static constexpr int kSlots = 8;

  /// Starts the processes and waits until the entry can send requests to the endpoint.
  static tl::expected<std::unique_ptr<Fleet>, std::string> start(const FleetOptions& aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Child& entry() { return *mEntry; }
  Child& agent() { return *mAgent; }
  /// A load of the given path through the entry.
  LoadTool::LoadConfig through(const std::string& aPath) const;
  /// The same load directly to the endpoint.
  LoadTool::LoadConfig direct() const;
  /// Requests that the endpoint has served.
  tl::expected<std::uint64_t, std::string> served() const;

private:
  Fleet();

  std::string path(const std::string& aName) const { return mFolder + '/' + aName; }
  std::unique_ptr<Child> run(const std::string& aName, std::vector<std::string> aArguments) const;
  tl::expected<int, std::string> printedPort(const std::string& aName) const;
  tl::expected<void, std::string> startAll(const FleetOptions& aOptions);
  tl::expected<void, std::string> startDaemons(int aStore);
  tl::expected<void, std::string> publishTables() const;
  bool servesUrgent() const;

  std::string mFolder;
  int mEntryPort = 0;
  int mAgentPort = 0;
  int mEndpointPort = 0;
  std::unique_ptr<Child> mStore;
  std::unique_ptr<Child> mEntry;
  std::unique_ptr<Child> mAgent;
  std::unique_ptr<Child> mEndpoint;
};

/// A measure that is RED, for an area whose processes did not start.
Bench::Measures
FailedStart(const std::string& aArea, const std::string& aError);

} // namespace ProcessBench
