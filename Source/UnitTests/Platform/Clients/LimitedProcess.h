#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

#include <sys/types.h>

namespace ClientTests {

enum class Role
{
  Entry,
  Agent,
};

/// Limits that the settings file of the tested processes states.
constexpr int kMemoryMb = 24;
constexpr int kMaxDescriptors = 320;

/// The real program as an entry or an agent with low limits.
class LimitedProcess
{
public:
  LimitedProcess(Role aRole, const std::string& aStoreAddress);
  ~LimitedProcess();
  LimitedProcess(const LimitedProcess&) = delete;
  LimitedProcess& operator=(const LimitedProcess&) = delete;

  std::uint16_t callerPort() const { return mCallerPort; }
  std::uint16_t readinessPort() const { return mReadinessPort; }
  std::uint16_t announcementPort() const { return mCallerPort; }
  std::uint16_t peerPort() const { return mPeerPort; }
  std::uint16_t metricsPort() const;

  bool isRunning();
  /// Largest amount of memory so far in kB, without the pages of files.
  long peakMemoryKb() const;
  std::size_t openDescriptors() const;

private:
  void writeSettings(const std::string& aStoreAddress) const;
  void startProgram();
  long statusKb(const std::string& aName) const;

  Role mRole;
  std::uint16_t mCallerPort;
  std::uint16_t mReadinessPort;
  std::uint16_t mPeerPort;
  std::filesystem::path mFolder;
  pid_t mProcess = 0;
  bool mEnded = false;
};

} // namespace ClientTests
