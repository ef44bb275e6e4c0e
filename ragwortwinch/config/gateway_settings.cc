#include "ragwortwinch/config/gateway_settings.h"

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/config/internal/field_reader.h"
#include "ragwortwinch/config/internal/settings_fields.h"

#include <fmt/format.h>

namespace ragwortwinch {

namespace {

using internal::FieldReader;

Millis readSeconds(FieldReader& reader, const std::string& field, Millis fallback)
{
    double seconds = reader.decimal(field, static_cast<double>(fallback.count()) / 1000, 0.1, 3600);
    return Millis(static_cast<std::int64_t>(seconds * 1000));
}

GatewaySettings readSettings(FieldReader& reader, const Json& document)
{
    GatewaySettings settings;
    // `isGatewaySettings` checks the value; this marks the field as known.
    reader.requiredText("mode");
    settings.node = reader.requiredText("node");
    settings.availabilityZone = reader.requiredText("availability_zone");
    settings.region = reader.requiredText("region");
    settings.entryAddress = internal::readAddress(reader, "entry_address");
    settings.readinessAddress = internal::readAddress(reader, "readiness_address");
    settings.directoryAddress = internal::readAddress(reader, "directory_address");
    settings.adminAddress = internal::readAddress(reader, "admin_address");
    settings.peerAddress = internal::readAddress(reader, "peer_address");
    settings.storeUrl = internal::readUrl(reader, "store_url");
    settings.dutyUrl = internal::readUrl(reader, "duty_url");
    settings.seedPeers = internal::readAddresses(reader, "seed_peers");
    settings.heartbeatInterval
        = internal::readMillis(reader, "heartbeat_ms", settings.heartbeatInterval, 20, 10000);
    settings.leaseTtl = internal::readMillis(reader, "lease_ttl_ms", settings.leaseTtl, 1000, 120000);
    settings.clockMargin = internal::readMillis(reader, "clock_margin_ms", settings.clockMargin, 10, 10000);
    settings.sendBound = internal::readMillis(reader, "send_bound_ms", settings.sendBound, 100, 30000);
    settings.usageWindow = readSeconds(reader, "usage_window_s", settings.usageWindow);
    settings.usageGrace = readSeconds(reader, "usage_grace_s", settings.usageGrace);
    settings.answerValidity = readSeconds(reader, "answer_validity_s", settings.answerValidity);
    settings.stopBound = readSeconds(reader, "stop_bound_s", settings.stopBound);
    settings.retryRatio = reader.decimal("repeat_ratio", settings.retryRatio, 0, 10);
    settings.retryWindow = readSeconds(reader, "repeat_window_s", settings.retryWindow);
    settings.retrySlack = reader.decimal("repeat_slack", settings.retrySlack, 0, 1000000);
    settings.quotaWindow = readSeconds(reader, "quota_window_s", settings.quotaWindow);
    settings.quotaOvershoot = reader.decimal("quota_overshoot", settings.quotaOvershoot, 0, 10);
    settings.quotaSlack = reader.decimal("quota_slack", settings.quotaSlack, 0, 1e12);
    settings.sharesStoreReads = reader.boolean("share_store_reads", settings.sharesStoreReads);
    settings.linkMbps = reader.decimal("link_mbps", settings.linkMbps, 0, 1000000);
    settings.processorCores = reader.decimal("processor_share", 1, 0, 1000)
        * reader.decimal("processor_speed", settings.processorCores, 0, 1000);
    settings.memoryMegabytes = reader.decimal("memory_mb", settings.memoryMegabytes, 0, 10000000);
    settings.fileDescriptors = reader.decimal("file_descriptors", settings.fileDescriptors, 0, 10000000);
    if (!reader.has("regions") || !document["regions"].is_object())
        reader.problem("regions",
            "field `regions` must map availability zones to regions, such as {\"zone-a\": \"region-1\"}");
    else {
        for (const auto& [zone, region] : document["regions"].items()) {
            if (region.is_string())
                settings.regions[zone] = region.get<std::string>();
            else
                reader.problem("regions",
                    fmt::format("the region of zone `{}` must be a string in double quotes", zone));
        }
    }
    return settings;
}

} // namespace

bool isGatewaySettings(std::string_view text)
{
    return handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(document, parseJson(text, ErrorKind::BadSettings));
            return stringMember(document, "mode") == "gateway";
        },
        [](const Error&) { return false; });
}

Result<GatewaySettings> parseGatewaySettings(std::string_view text)
{
    return internal::parseSettingsText<GatewaySettings>(
        text, internal::UnknownFields::LogAndIgnore, readSettings);
}

} // namespace ragwortwinch
