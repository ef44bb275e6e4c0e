// Reads the fields of a JSON object, checks their types and ranges, and collects all problems with line
// numbers.
//
//     FieldReader reader(object, lineOf, problems);
//     rule.weight = reader.number("weight", 1, 1, 1000);
//     reader.reportUnknown();   // reports fields that were not read
#pragma once

#include "ragwortwinch/base/json.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch::internal {

class FieldReader {
public:
    // `lineOf` returns the line of a field; `problems` receives the messages. `object` and `problems` must
    // outlive the reader.
    FieldReader(const Json& object, std::function<int(const std::string&)> lineOf,
        std::vector<std::string>& problems);

    // Each of these reads one field. An absent or invalid value is replaced by `fallback`, or is empty;
    // `texts` keeps the valid items. Invalid values are reported as problems, absent ones only by
    // `requiredText`. `number` accepts integers only. Ranges include both ends.
    std::string requiredText(const std::string& name);
    std::string text(const std::string& name, std::string fallback);
    std::int64_t number(
        const std::string& name, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum);
    double decimal(const std::string& name, double fallback, double minimum, double maximum);
    bool boolean(const std::string& name, bool fallback);
    std::vector<std::string> texts(const std::string& name);
    // Reports each field that was not read as a problem and suggests the most similar known name.
    void reportUnknown();
    // Logs the fields that were not read, in one line; they have no effect.
    void logUnknown();
    // Returns whether the object has the field, and counts it as read.
    bool has(const std::string& name) { return find(name) != nullptr; }
    // Adds a problem at the line of `field`, or of the object when `field` is empty.
    void problem(const std::string& field, const std::string& message);
    int lineOf(const std::string& field) const { return lineOf_(field); }

private:
    const Json* find(const std::string& name);

    const Json& object_;
    std::function<int(const std::string&)> lineOf_;
    std::vector<std::string>& problems_;
    // The names that were asked for, whether present or not.
    std::set<std::string> known_;
};

} // namespace ragwortwinch::internal
