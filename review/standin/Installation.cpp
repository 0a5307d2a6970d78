#include "Installation.h"

#include <csignal>
#include <cstring>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

using nlohmann::json;

namespace {

const char* const kZones[] = { "bogota", "barranquilla", "medellin" };
constexpr const char* kService = "prestamo";
constexpr Millis kCallerPatience{ 3000 };

} // namespace

Installation::Installation(std::string aProgram, std::string aFolder, Record& aRecord)
  : mRecord(aRecord)
  , mProgram(std::move(aProgram))
  , mFolder(std::move(aFolder))
{
}

Installation::~Installation()
{
  for (auto* machines : { &mEdges, &mSides }) {
    for (Machine& machine : *machines) {
      kill(machine);
    }
  }
}

json
Installation::settingsOf(const Machine& aMachine) const
{
  const auto address = [](int aPort) { return "127.0.0.1:" + std::to_string(aPort); };
  json settings = {
    { "node_name", aMachine.mName },
    { "role", aMachine.mIsEdge ? "entry" : "agent" },
    { "machine_class", aMachine.mIsEdge ? "edge" : "side" },
    { "serves", { aMachine.mIsEdge ? "edge" : "side" } },
    { "ip", "127.0.0.1" },
    { "zone", aMachine.mZone },
    { "region", aMachine.mZone == "barranquilla" ? "caribe" : "andina" },
    { "zones", { { "bogota", "andina" }, { "barranquilla", "caribe" }, { "medellin", "andina" } } },
    { "internal_ports", { aMachine.peer(), aMachine.peer() + 4 } },
    { "seeds", json::array() },
    { "bootstrap", true },
    { "fault_counted", false },
    { "limits",
      { { "cpu_share", aMachine.mIsEdge ? 0.25 : 0.15 },
        { "cores", 1 },
        { "memory_mb", 260 },
        { "max_fds", 4100 },
        { "link_mbps", 1000.0 },
        { "disk_mb", 0 } } },
    { "data_dir", nullptr },
    { "discovery", "local" },
    { "entry", "vip" },
    { "heartbeat_ms", 1500 },
    { "contracts", { "base", "drain", "config", "cost", "recover", "sched", "platform" } },
    { "fault_tolerance", { { "machines", 1 }, { "zones", 0 }, { "regions", 0 } } },
    { "bounds", mBounds },
    { "control_mode", "call" },
    { "platform",
      { { "address", address(mStore->port()) },
        { "form", "kv" },
        { "writes_per_s", 400 },
        { "reads_per_s", 2000 },
        { "history_s", 20 },
        { "value_bytes", 1048576 },
        { "ttl_min_ms", 1000 } } }
  };
  if (aMachine.mIsEdge) {
    settings["listen"] = { { "frontend", address(aMachine.frontend()) },
                           { "readiness", address(aMachine.readiness()) } };
  } else {
    settings["listen"] = { { "control_plane", address(aMachine.control()) } };
    settings["app"] = address(aMachine.frontend());
    settings["service"] = kService;
  }
  return settings;
}

void
Installation::startProcess(Machine& aMachine)
{
  const std::string file = mFolder + '/' + aMachine.mName + ".json";
  std::ofstream(file) << settingsOf(aMachine).dump(2);
  const std::string log = mFolder + '/' + aMachine.mName + ".log";
  const std::string variable = "IBISSHED_NODE_FILE=" + file;
  const pid_t process = ::fork();
  if (process == 0) {
    // The processes must not outlive this one, however it ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    const char* const arguments[] = { mProgram.c_str(), "--platform", nullptr };
    const char* const environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
    ::execve(mProgram.c_str(),
             const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
    ::_exit(127);
  }
  aMachine.mProcess = process;
  mRecord.line("process %s started", aMachine.mName.c_str());
}

void
Installation::signal(Machine& aMachine, int aSignal)
{
  if (aMachine.mProcess > 0) {
    ::kill(aMachine.mProcess, aSignal);
    mRecord.line("process %s gets %s", aMachine.mName.c_str(), ::strsignal(aSignal));
  }
}

void
Installation::kill(Machine& aMachine)
{
  if (aMachine.mProcess > 0) {
    ::kill(aMachine.mProcess, SIGKILL);
    ::waitpid(aMachine.mProcess, nullptr, 0);
    aMachine.mProcess = 0;
    mRecord.line("process %s killed", aMachine.mName.c_str());
  }
}

void
Installation::start(int aEdges, int aWorkers, json aBounds)
{
  mBounds = std::move(aBounds);
  mStore = std::make_unique<Store>(FreePorts(1), mRecord);
  mStore->start();
  for (int i = 0; i < aEdges; ++i) {
    mEdges.push_back({ "edge-" + std::to_string(i + 1), kZones[i % 3], true, FreePorts(9), 0 });
  }
  for (int i = 0; i < aWorkers; ++i) {
    mSides.push_back({ "side-" + std::to_string(i + 1), kZones[i % 3], false, FreePorts(9), 0 });
  }
  for (auto* machines : { &mEdges, &mSides }) {
    for (Machine& machine : *machines) {
      startProcess(machine);
    }
  }
  for (std::size_t i = 0; i < mSides.size(); ++i) {
    Worker::Options options;
    options.mId = "i-" + std::to_string(1000 + i);
    options.mService = kService;
    options.mZone = mSides[i].mZone;
    options.mRack = "r" + std::to_string(i % 3) + '-' + std::to_string(i / 3);
    options.mLongestLease = Millis(mBounds.at("hold_max_ms").get<std::int64_t>());
    options.mStopTime = Millis(mBounds.at("stop_ms").get<std::int64_t>() / 2);
    // As in the site file: every third worker has one and a half times the room.
    if (i % 3 == 2) {
      options.mMilliCores = options.mMilliCores * 3 / 2;
      options.mMemoryMb = options.mMemoryMb * 3 / 2;
    }
    options.mControlPort = mSides[i].control();
    mWorkers.push_back(
      std::make_unique<Worker>(options, mSides[i].frontend(), mTruth, mRecord));
    mWorkers.back()->start();
  }
}

void
Installation::putConfig(const json& aRoutes)
{
  // Versions increase in uneven steps.
  mVersion += 3;
  const json config = {
    { "version", mVersion },
    { "routes", aRoutes },
    { "services",
      { { { "name", kService },
          { "health_path", "/healthz" },
          { "max_conns", 64 },
          { "protocol", "h1" },
          { "tls", false },
          { "enforces_capacity", true },
          { "standby", false } } } },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 262144 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } }
  };
  const std::int64_t revision = mStore->put("op/config", config.dump());
  std::string names;
  for (const json& route : aRoutes) {
    names += ' ' + route.at("name").get<std::string>();
  }
  mRecord.line("operator wrote config version %lld at revision %lld, acknowledged; routes:%s",
               static_cast<long long>(mVersion), static_cast<long long>(revision), names.c_str());
}

Installation::Machine*
Installation::coordinator()
{
  // The record of the holder contains the name of its machine.
  const std::string record = mStore->text("ibis/coordinator");
  for (Machine& machine : mEdges) {
    if (record.find(machine.mName) != std::string::npos) {
      return &machine;
    }
  }
  return nullptr;
}

bool
Installation::waitUntilReady(Millis aTimeout)
{
  const auto end = Clock::now() + aTimeout;
  while (Clock::now() < end) {
    std::this_thread::sleep_for(Millis(50));
    bool ready = coordinator() != nullptr;
    for (const Machine& machine : mEdges) {
      const auto reply = Call(machine.readiness(), "GET", "/-/readyz", "", {}, Millis(500));
      ready = ready && reply && reply->mStatus == 200;
    }
    if (ready) {
      // Agents connect, and the coordinator records their workers, within two status reports.
      std::this_thread::sleep_for(Millis(3500));
      mRecord.line("ready; the coordinator is %s", coordinator()->mName.c_str());
      return true;
    }
  }
  mRecord.line("the installation did not get ready");
  return false;
}

Reply
Installation::call(const std::string& aMethod,
                   const std::string& aHost,
                   const std::string& aTarget,
                   const std::string& aBody)
{
  Reply last{ 0, "" };
  for (int attempt = 0; attempt < 5; ++attempt) {
    const Machine& edge = mEdges[mNextEdge++ % mEdges.size()];
    if (edge.mProcess == 0) {
      // The platform sends no new channels to a node that is not ready.
      continue;
    }
    const auto reply =
      Call(edge.frontend(), aMethod, aTarget, aBody,
           { { "Host", aHost }, { "Ibisshed-Deadline-Ms", std::to_string(kCallerPatience.count()) } },
           kCallerPatience);
    last = reply ? *reply : Reply{ 0, "" };
    mRecord.line("caller %s %s%s at %s: %d %s", aMethod.c_str(), aHost.c_str(), aTarget.c_str(),
                 edge.mName.c_str(), last.mStatus, last.mBody.c_str());
    if (last.mStatus != 0 && last.mStatus != 502 && last.mStatus != 503 && last.mStatus != 504) {
      break;
    }
    std::this_thread::sleep_for(Millis(300));
  }
  return last;
}

Reply
Installation::submit(const std::string& aHost,
                     const std::string& aPrefix,
                     const std::string& aJob,
                     const std::vector<StepTruth>& aSteps)
{
  mTruth.add(aJob, aSteps);
  json steps = json::array();
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    json step = { { "count", aSteps[i].mCount },
                  { "cpu", aSteps[i].mMilliCores },
                  { "mem_mb", aSteps[i].mMemoryMb },
                  { "estimate_ms", aSteps[i].mRunTime.count() } };
    if (aSteps[i].mLasts) {
      step["long_running"] = true;
    }
    if (aSteps[i].mMaxPerServer > 0) {
      step["max_per_server"] = aSteps[i].mMaxPerServer;
    }
    if (i > 0) {
      step["after"] = { i - 1 };
    }
    steps.push_back(step);
  }
  return call("POST", aHost, aPrefix + aJob, json{ { "spec", "work" }, { "steps", steps } }.dump());
}

std::vector<std::pair<std::string, std::int64_t>>
Installation::runsOf(const std::string& aTask)
{
  std::vector<std::pair<std::string, std::int64_t>> runs;
  for (const auto& worker : mWorkers) {
    const auto running = worker->running();
    const auto found = running.find(aTask);
    if (found != running.end()) {
      runs.emplace_back(worker->id(), found->second);
    }
  }
  return runs;
}

int
Installation::startsOf(const std::string& aPrefix)
{
  int starts = 0;
  for (const auto& worker : mWorkers) {
    starts += worker->starts(aPrefix);
  }
  return starts;
}

} // namespace Review
