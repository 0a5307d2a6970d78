#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace Net {

/// Body of a request that grows with the bytes that arrive. Beast's own body for strings allocates
/// the length that the header states at once.
struct BoundedBody
{
  // The names are those that Beast asks for.
  using value_type = std::string; // NOLINT(readability-identifier-naming)

  class reader // NOLINT(readability-identifier-naming)
  {
  public:
    template<bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>&, value_type& aBody)
      : mBody(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& aError)
    {
      aError = {};
    }

    template<class Buffers>
    std::size_t put(const Buffers& aBuffers, boost::system::error_code& aError)
    {
      aError = {};
      std::size_t size = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        mBody.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }

    void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    value_type& mBody;
  };
};

} // namespace Net
