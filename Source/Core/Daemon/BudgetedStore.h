#pragma once

#include <memory>

#include "Common/Clock.h"
#include "Config/Settings.h"
#include "Store/StorePort.h"

namespace Daemon {

/// The store of the settings behind a token bucket: calls above the process' rate are refused as
/// Unavailable before they are sent. Only the first address is used.
std::shared_ptr<Store::StorePort>
MakeBudgetedStore(const Config::Settings& aSettings, Common::Clock& aClock);

} // namespace Daemon
