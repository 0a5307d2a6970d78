#pragma once

#include <functional>

#include "Node/Ports.h"
#include "Node/Settings.h"
#include "Store/AsyncStore.h"

namespace Node {

/// What the adapter builds on the process's event loop.
struct Adapters
{
  std::function<std::unique_ptr<Store::AsyncStore>(boost::asio::io_context&, const std::string&)>
    mMakeStore;
  std::function<std::unique_ptr<WorkerPort>(boost::asio::io_context&,
                                            const std::string&,
                                            const Common::WorkerId&)>
    mMakeWorkerPort;
  std::function<std::unique_ptr<AdvicePort>(boost::asio::io_context&, const std::string&)>
    mMakeAdvicePort;
  Formats mFormats;
};

/// Runs the process until it is asked to stop. Returns the exit code.
int
RunProcess(const Settings& aSettings, const Adapters& aAdapters);

} // namespace Node
