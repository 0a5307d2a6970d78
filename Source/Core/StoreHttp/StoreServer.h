#pragma once

namespace httplib { // NOLINT(readability-identifier-naming): the name is that of cpp-httplib
class Server;
} // namespace httplib

namespace Store {
class MemoryStore;
} // namespace Store

namespace StoreHttp {

/// Serves aStore with the protocol of docs/platform.md, including the admin paths that inject
/// faults. Each waiting watch occupies one thread of the server.
void
AddStoreRoutes(httplib::Server& aServer, Store::MemoryStore& aStore);

} // namespace StoreHttp
