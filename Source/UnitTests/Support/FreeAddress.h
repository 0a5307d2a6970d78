#pragma once

#include <string>

#include "Net/Address.h"

namespace TestSupport {

/// An address of this machine on which nothing listens. Another process may take it until it is
/// used.
inline std::string
FreeAddress(boost::asio::io_context& aIo)
{
  Net::Tcp::acceptor acceptor(aIo, Net::Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return Net::AddressText(acceptor.local_endpoint());
}

} // namespace TestSupport
