#pragma once

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace Review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Writes what was sent, answered and run, with the time since the start in seconds.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
  {
  }
  ~Record()
  {
    if (mFile != nullptr) {
      std::fclose(mFile);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  double seconds() const
  {
    return std::chrono::duration<double>(Clock::now() - mStart).count();
  }

  __attribute__((format(printf, 2, 3))) void line(const char* aFormat, ...)
  {
    const std::lock_guard lock(mMutex);
    if (mFile == nullptr) {
      return;
    }
    std::fprintf(mFile, "%9.3f ", seconds());
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(mFile, aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', mFile);
    std::fflush(mFile);
  }

private:
  std::FILE* mFile;
  std::mutex mMutex;
  Clock::time_point mStart = Clock::now();
};

} // namespace Review
