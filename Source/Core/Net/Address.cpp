#include "Net/Address.h"

#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Net {

std::optional<Tcp::endpoint>
ParseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = Asio::ip::make_address(std::string(aText.substr(0, colon)), error);
  std::uint16_t port = 0;
  const std::string_view digits = aText.substr(colon + 1);
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return Tcp::endpoint(address, port);
}

std::string
AddressText(const Tcp::endpoint& aEndpoint)
{
  return aEndpoint.address().to_string() + ':' + std::to_string(aEndpoint.port());
}

tl::expected<void, std::string>
OpenListener(Tcp::acceptor& aAcceptor, const std::string& aAddress, int aBufferBytes)
{
  // Connections that wait to be accepted; a burst of new ones must not be dropped, because their
  // senders try again only after a second.
  constexpr int kBacklog = 512;
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    return tl::unexpected("\"" + aAddress + "\" is not an address of the form IP:PORT");
  }
  boost::system::error_code error;
  aAcceptor.open(endpoint->protocol(), error);
  if (!error) {
    aAcceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error && aBufferBytes > 0) {
    boost::system::error_code ignored;
    aAcceptor.set_option(Asio::socket_base::receive_buffer_size(aBufferBytes), ignored);
    aAcceptor.set_option(Asio::socket_base::send_buffer_size(aBufferBytes), ignored);
  }
  if (!error) {
    aAcceptor.bind(*endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(kBacklog, error);
  }
  if (error) {
    return tl::unexpected("cannot listen on " + aAddress + ": " + error.message());
  }
  return {};
}

void
SetSocketOptions(Tcp::socket& aSocket, int aUnansweredMs)
{
  boost::system::error_code ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  // Failing to set it only delays the detection of a lost peer; deadlines still hold.
  ::setsockopt(
    aSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &aUnansweredMs, sizeof(aUnansweredMs));
  aSocket.set_option(Asio::socket_base::keep_alive(true), ignored);
  const int idleSeconds = (aUnansweredMs + 999) / 1000;
  const int probeIntervalSeconds = 1;
  ::setsockopt(
    aSocket.native_handle(), IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds));
  ::setsockopt(aSocket.native_handle(),
               IPPROTO_TCP,
               TCP_KEEPINTVL,
               &probeIntervalSeconds,
               sizeof(probeIntervalSeconds));
}

} // namespace Net
