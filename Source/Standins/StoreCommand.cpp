#include <httplib.h>

#include "Standins/Commands.h"
#include "Standins/Options.h"
#include "Standins/Serve.h"
#include "Store/MemoryStore.h"
#include "StoreHttp/StoreServer.h"

namespace Standins {

int
RunStore(int aCount, char** aArguments)
{
  ServeOptions serve;
  // A waiting watch and a kept connection each hold a thread.
  serve.mThreads = 256;
  std::int64_t seed = 1;
  if (const auto status =
        ParseOptions(aCount, aArguments, { { "seed", "seed of random faults", &seed } }, serve)) {
    return *status;
  }
  Common::SystemClock clock;
  Store::MemoryStore store(clock, static_cast<std::uint64_t>(seed));
  httplib::Server server;
  StoreHttp::AddStoreRoutes(server, store);
  // Ends waiting watches, so that the server can stop at once.
  const auto endWatches = [&store](bool aStopping) {
    if (aStopping) {
      store.setFaults({ .mDown = true });
    }
  };
  return Serve(server, serve, { {}, endWatches, {} });
}

} // namespace Standins
