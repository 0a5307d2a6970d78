#include <arpa/inet.h>

#include "Config/Keys.h"

namespace Config {

bool
IsIpAddress(const std::string& aText)
{
  in6_addr address{};
  return inet_pton(AF_INET, aText.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &address) == 1;
}

bool
IsSocketAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::string host = aText.substr(0, colon);
  const std::string port = aText.substr(colon + 1);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  // Without brackets the port of an IPv6 address cannot be told from its last group.
  if (!IsIpAddress(host) || bracketed != (host.find(':') != std::string::npos)) {
    return false;
  }
  constexpr std::size_t kMaxDigits = 5;
  constexpr int kMaxPort = 65535;
  const bool digits = !port.empty() && port.size() <= kMaxDigits &&
                      port.find_first_not_of("0123456789") == std::string::npos;
  return digits && std::stoi(port) >= 1 && std::stoi(port) <= kMaxPort;
}

} // namespace Config
