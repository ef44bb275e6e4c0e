#include "ragwortwinch/config/settings.h"

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/config/internal/field_reader.h"
#include "ragwortwinch/config/internal/settings_fields.h"

#include <boost/leaf.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace ragwortwinch {

namespace {

Settings readSettings(internal::FieldReader& reader, const Json&)
{
    Settings settings;
    settings.node = reader.requiredText("node");
    settings.availabilityZone = reader.requiredText("availability_zone");
    settings.region = reader.requiredText("region");
    settings.entryAddress = internal::readAddress(reader, "entry_address");
    settings.adminAddress = internal::readAddress(reader, "admin_address");
    settings.peerAddress = internal::readAddress(reader, "peer_address");
    settings.platformUrl = internal::readUrl(reader, "platform_url");
    settings.seedPeers = internal::readAddresses(reader, "seed_peers");
    settings.requestThreads
        = static_cast<int>(reader.number("request_threads", settings.requestThreads, 1, 64));
    settings.leaseTtl = internal::readMillis(reader, "lease_ttl_ms", settings.leaseTtl, 300, 120000);
    settings.clockMargin = internal::readMillis(reader, "clock_margin_ms", settings.clockMargin, 10, 10000);
    settings.sendBound = internal::readMillis(reader, "send_bound_ms", settings.sendBound, 100, 30000);
    settings.heartbeatInterval
        = internal::readMillis(reader, "heartbeat_ms", settings.heartbeatInterval, 20, 10000);
    settings.usageWindow
        = internal::readMillis(reader, "usage_window_ms", settings.usageWindow, 500, 3600000);
    settings.drainBound = internal::readMillis(reader, "drain_bound_ms", settings.drainBound, 100, 3600000);
    settings.mayHoldDuties = reader.boolean("may_hold_duties", settings.mayHoldDuties);
    if (settings.clockMargin * 4 > settings.leaseTtl)
        reader.problem("clock_margin_ms",
            "`clock_margin_ms` must be at most a quarter of `lease_ttl_ms`; lower it or raise "
            "`lease_ttl_ms`");
    return settings;
}

} // namespace

Result<Settings> parseSettings(std::string_view text)
{
    return internal::parseSettingsText<Settings>(text, internal::UnknownFields::Refuse, readSettings);
}

Result<std::string> readFile(const std::string& path, ErrorKind kind)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(kind, fmt::format("can't open `{}`; check the path and its permissions", path));
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

Result<Settings> loadSettings(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readFile(path, ErrorKind::BadSettings));
    return parseSettings(text);
}

} // namespace ragwortwinch
