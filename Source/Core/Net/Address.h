#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

/// Event-driven HTTP and message connections on one thread.
namespace Net {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

/// "IP:PORT" as an endpoint; nothing if the text is not of this form.
std::optional<Tcp::endpoint>
ParseAddress(std::string_view aText);

std::string
AddressText(const Tcp::endpoint& aEndpoint);

/// Opens the acceptor on "IP:PORT". The connections that it accepts get receive and send buffers of
/// aBufferBytes from the system, which chooses the sizes itself if it is 0. Returns why the address
/// cannot be listened on.
tl::expected<void, std::string>
OpenListener(Tcp::acceptor& aAcceptor, const std::string& aAddress, int aBufferBytes = 0);

/// Sets what every connection needs here: no delay of small writes, and an error within
/// aUnansweredMs if the peer's machine does not acknowledge them. A connection that is idle for as
/// long is probed, so that the loss of the machine shows in about twice that time.
void
SetSocketOptions(Tcp::socket& aSocket, int aUnansweredMs);

} // namespace Net
