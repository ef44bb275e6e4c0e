#include "ragwortwinch/config/settings.h"

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/config/internal/field_reader.h"

#include <boost/leaf.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace ragwortwinch {

namespace {

SocketAddress readAddress(internal::FieldReader& reader, const std::string& field)
{
    std::string text = reader.requiredText(field);
    if (text.empty())
        return {};
    std::optional<SocketAddress> address = parseSocketAddress(text);
    if (!address)
        reader.problem(field,
            fmt::format("field `{}` must be an IP number and a port, such as \"10.0.3.7:8080\"", field));
    return address.value_or(SocketAddress{});
}

Millis readMillis(internal::FieldReader& reader, const std::string& field, Millis fallback,
    std::int64_t least, std::int64_t most)
{
    return Millis(reader.number(field, fallback.count(), least, most));
}

Settings readSettings(internal::FieldReader& reader)
{
    Settings settings;
    settings.node = reader.requiredText("node");
    settings.availabilityZone = reader.requiredText("availability_zone");
    settings.region = reader.requiredText("region");
    settings.entryAddress = readAddress(reader, "entry_address");
    settings.adminAddress = readAddress(reader, "admin_address");
    settings.peerAddress = readAddress(reader, "peer_address");
    settings.platformUrl = reader.requiredText("platform_url");
    for (const std::string& text : reader.texts("seed_peers")) {
        if (std::optional<SocketAddress> address = parseSocketAddress(text))
            settings.seedPeers.push_back(*address);
        else
            reader.problem("seed_peers",
                fmt::format("`{}` is not an IP number and a port, such as \"10.0.3.7:8300\"", text));
    }
    settings.requestThreads
        = static_cast<int>(reader.number("request_threads", settings.requestThreads, 1, 64));
    settings.leaseTtl = readMillis(reader, "lease_ttl_ms", settings.leaseTtl, 300, 120000);
    settings.clockMargin = readMillis(reader, "clock_margin_ms", settings.clockMargin, 10, 10000);
    settings.sendBound = readMillis(reader, "send_bound_ms", settings.sendBound, 100, 30000);
    settings.heartbeatInterval = readMillis(reader, "heartbeat_ms", settings.heartbeatInterval, 20, 10000);
    settings.usageWindow = readMillis(reader, "usage_window_ms", settings.usageWindow, 500, 3600000);
    settings.drainBound = readMillis(reader, "drain_bound_ms", settings.drainBound, 100, 3600000);
    settings.mayHoldDuties = reader.boolean("may_hold_duties", settings.mayHoldDuties);
    if (settings.clockMargin * 4 > settings.leaseTtl)
        reader.problem("clock_margin_ms",
            "`clock_margin_ms` must be at most a quarter of `lease_ttl_ms`; raise the one or lower the "
            "other");
    if (!settings.platformUrl.empty() && !settings.platformUrl.starts_with("http://")
        && !settings.platformUrl.starts_with("https://"))
        reader.problem("platform_url", "field `platform_url` must start with http:// or https://");
    reader.finish();
    return settings;
}

std::string join(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += (text.empty() ? "" : "\n") + line;
    return text;
}

} // namespace

Result<Settings> parseSettings(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJson(text, ErrorKind::BadSettings));
    if (!document.is_object())
        return makeError(
            ErrorKind::BadSettings, "line 1: settings are one JSON object; start the file with {");
    std::vector<std::string> problems;
    auto lineOf = [&text](const std::string& field) {
        std::size_t offset = field.empty() ? std::string_view::npos : text.find("\"" + field + "\"");
        return offset == std::string_view::npos ? 1 : lineOfOffset(text, offset);
    };
    internal::FieldReader reader(document, lineOf, problems);
    Settings settings = readSettings(reader);
    if (!problems.empty())
        return makeError(ErrorKind::BadSettings, join(problems));
    return settings;
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
