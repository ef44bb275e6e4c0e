#include "ragwortwinch/config/internal/field_reader.h"

#include "ragwortwinch/base/log_event.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace ragwortwinch::internal {

namespace {

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

} // namespace

FieldReader::FieldReader(
    const Json& object, std::function<int(const std::string&)> lineOf, std::vector<std::string>& problems)
    : object_(object)
    , lineOf_(std::move(lineOf))
    , problems_(problems)
{
}

const Json* FieldReader::find(const std::string& name)
{
    known_.insert(name);
    auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

void FieldReader::problem(const std::string& field, const std::string& message)
{
    problems_.push_back(fmt::format("line {}: {}", lineOf_(field), message));
}

std::string FieldReader::requiredText(const std::string& name)
{
    const Json* value = find(name);
    if (!value)
        problem("", fmt::format("field `{}` is missing; add \"{}\": \"...\"", name, name));
    else if (!value->is_string() || value->get<std::string>().empty())
        problem(name, fmt::format("field `{}` must be a text that is not empty", name));
    else
        return value->get<std::string>();
    return {};
}

std::string FieldReader::text(const std::string& name, std::string fallback)
{
    const Json* value = find(name);
    if (!value)
        return fallback;
    if (value->is_string())
        return value->get<std::string>();
    problem(name, fmt::format("field `{}` must be a text in double quotes", name));
    return fallback;
}

std::int64_t FieldReader::number(
    const std::string& name, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    const Json* value = find(name);
    if (!value)
        return fallback;
    if (!value->is_number_integer() || value->get<std::int64_t>() < minimum
        || value->get<std::int64_t>() > maximum) {
        problem(name, fmt::format("field `{}` must be a whole number from {} to {}", name, minimum, maximum));
        return fallback;
    }
    return value->get<std::int64_t>();
}

double FieldReader::decimal(const std::string& name, double fallback, double minimum, double maximum)
{
    const Json* value = find(name);
    if (!value)
        return fallback;
    if (!value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
        problem(name, fmt::format("field `{}` must be a number from {} to {}", name, minimum, maximum));
        return fallback;
    }
    return value->get<double>();
}

bool FieldReader::boolean(const std::string& name, bool fallback)
{
    const Json* value = find(name);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    problem(name, fmt::format("field `{}` must be true or false", name));
    return fallback;
}

std::vector<std::string> FieldReader::texts(const std::string& name)
{
    std::vector<std::string> values;
    const Json* value = find(name);
    if (!value)
        return values;
    if (!value->is_array()) {
        problem(name, fmt::format("field `{}` must be a list of texts, such as [\"a\", \"b\"]", name));
        return values;
    }
    for (const Json& item : *value) {
        if (item.is_string())
            values.push_back(item.get<std::string>());
        else
            problem(name,
                fmt::format("field `{}` holds something that is not a text; put it in double quotes", name));
    }
    return values;
}

void FieldReader::logUnknown()
{
    std::string names;
    for (const auto& member : object_.items()) {
        if (!known_.contains(member.key()))
            names += (names.empty() ? "" : ",") + member.key();
    }
    if (!names.empty())
        LogEvent("settings.unknown_fields", Severity::Warning).with("ignored", names);
}

void FieldReader::reportUnknown()
{
    for (const auto& member : object_.items()) {
        if (known_.contains(member.key()))
            continue;
        auto nearest = std::min_element(
            known_.begin(), known_.end(), [&](const std::string& left, const std::string& right) {
                return editDistance(left, member.key()) < editDistance(right, member.key());
            });
        problem(member.key(),
            fmt::format(
                "unknown field `{}`; did you mean `{}`? Remove or rename it", member.key(), *nearest));
    }
}

} // namespace ragwortwinch::internal
