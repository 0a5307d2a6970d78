#pragma once

#include <functional>

#include "Node/Ports.h"
#include "Node/Settings.h"
#include "Store/AsyncStore.h"

namespace Node {

/// Factories and formats that the platform adapter provides. The objects run on the process's event
/// loop. Strings are addresses; calls to a worker are for the given lifetime only.
struct Adapters
{
  std::function<std::unique_ptr<Store::AsyncStore>(boost::asio::io_context&, const std::string&)>
    mMakeStore;
  std::function<std::unique_ptr<WorkerPort>(boost::asio::io_context&,
                                            const std::string&,
                                            const Scheduling::WorkerLifetime&)>
    mMakeWorkerPort;
  std::function<std::unique_ptr<AdvicePort>(boost::asio::io_context&, const std::string&)>
    mMakeAdvicePort;
  Formats mFormats;
};

/// Runs an entry or an agent until SIGTERM or SIGINT; a second signal ends it at once. Returns the
/// exit code, which is 1 if the process could not start.
int
RunProcess(const Settings& aSettings, const Adapters& aAdapters);

} // namespace Node
