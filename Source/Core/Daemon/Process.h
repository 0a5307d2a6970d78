#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Config/Settings.h"

namespace Daemon {

/// One entry or agent, with its servers and threads.
class Process
{
public:
  Process(Config::Settings aSettings, Common::Clock& aClock);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Binds the ports and starts all threads; the error names what failed.
  tl::expected<void, std::string> start();
  /// Stops gracefully within the settings' grace: takes no new work, hands its ownership over, and
  /// finishes what runs.
  void stop();

  std::string httpAddress() const;
  std::string rpcAddress() const;

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

} // namespace Daemon
