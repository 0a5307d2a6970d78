#include "Http/Announcement.h"

#include <nlohmann/json.hpp>

namespace Http {

namespace {

// Larger counts than any endpoint can mean; they guard the sums of the ledger.
constexpr std::int32_t kMostConnections = 1'000'000;

std::string
CheckAnnouncement(const Announcement& aAnnouncement)
{
  if (aAnnouncement.mEndpoint.empty()) {
    return "\"endpoint\" is empty";
  }
  if (aAnnouncement.mPool.empty()) {
    return "\"pool\" is empty";
  }
  if (aAnnouncement.mAddress.find(':') == std::string::npos) {
    return "\"address\" is not \"ip:port\"";
  }
  for (const std::int32_t count : { aAnnouncement.mSlots, aAnnouncement.mConnections }) {
    if (count < 0 || count > kMostConnections) {
      return "\"slots\" or \"connections\" is out of range";
    }
  }
  const std::int32_t inProgress = aAnnouncement.mInProgress.value_or(0);
  if (inProgress < 0 || inProgress > kMostConnections) {
    return "\"in_progress\" is out of range";
  }
  return {};
}

} // namespace

tl::expected<Announcement, std::string>
ParseAnnouncement(std::string_view aBody)
{
  try {
    const auto json = nlohmann::json::parse(aBody);
    Announcement announcement;
    announcement.mEndpoint = json.at("endpoint").get<std::string>();
    announcement.mPool = json.at("pool").get<std::string>();
    announcement.mAddress = json.at("address").get<std::string>();
    announcement.mSlots = json.at("slots").get<std::int32_t>();
    announcement.mConnections = json.at("connections").get<std::int32_t>();
    announcement.mLeaving = json.value("leaving", false);
    if (json.contains("in_progress")) {
      announcement.mInProgress = json.at("in_progress").get<std::int32_t>();
    }
    const std::string error = CheckAnnouncement(announcement);
    if (!error.empty()) {
      return tl::unexpected(error);
    }
    return announcement;
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

} // namespace Http
