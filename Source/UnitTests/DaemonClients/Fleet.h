#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Http/Client.h"
#include "ProcessBench/Child.h"

namespace DaemonClients {

/// The smallest machine of an entry.
constexpr std::size_t kEntryMemoryMb = 160;
/// The machine of an agent.
constexpr std::size_t kAgentMemoryMb = 128;
constexpr std::size_t kMaxConnections = 256;
/// Descriptors beside the HTTP connections: files, listeners, and links to other processes.
constexpr std::size_t kOtherDescriptors = 64;

/// One entry, one agent, one endpoint stand-in and the store stand-in, each a process of its own on
/// loopback. The route /urgent leads to the endpoint.
class Fleet
{
public:
  /// Starts all of them and waits until the entry serves /urgent; fails the test otherwise.
  Fleet();
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  ProcessBench::Child& entry() { return *mEntry; }
  ProcessBench::Child& agent() { return *mAgent; }
  int entryPort() const { return mEntryPort; }
  int agentPort() const { return mAgentPort; }

private:
  std::string path(const std::string& aName) const { return mFolder + '/' + aName; }
  std::unique_ptr<ProcessBench::Child> run(const std::string& aName,
                                           std::vector<std::string> aArguments) const;
  int printedPort(const std::string& aName) const;
  void startDaemons(int aStorePort);
  void publishTables() const;

  std::string mFolder;
  int mEntryPort = 0;
  int mAgentPort = 0;
  std::unique_ptr<ProcessBench::Child> mStore;
  std::unique_ptr<ProcessBench::Child> mEntry;
  std::unique_ptr<ProcessBench::Child> mAgent;
  std::unique_ptr<ProcessBench::Child> mEndpoint;
};

/// Sends one request on a new connection and waits for its answer.
Http::ClientResult
Send(int aPort, const Http::Request& aRequest);

} // namespace DaemonClients
