#pragma once

#include <memory>

#include "Daemon/AgentNode.h"
#include "Daemon/CellOwner.h"
#include "Daemon/Runtime.h"
#include "Daemon/SpreadService.h"

namespace Rpc::Generated {
class ControlIf;
} // namespace Rpc::Generated

namespace Daemon {

/// Answers the calls of other processes. aAgent is null in an entry. The parts must outlive the
/// handler.
std::shared_ptr<Rpc::Generated::ControlIf>
MakeControlHandler(Runtime& aRuntime, SpreadService& aSpread, CellOwner& aOwner, AgentNode* aAgent);

} // namespace Daemon
