// Reads the fields of one JSON object, checks types and ranges, and collects every problem with its line.
//
//     FieldReader reader(object, lineOf, problems);
//     rule.weight = reader.number("weight", 1, 1, 1000);
//     reader.finish();   // complains of fields that nobody asked for
#pragma once

#include "ragwortwinch/base/json.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch::internal {

class FieldReader {
public:
    // `lineOf` gives the line of a field; `problems` receives messages. Both outlive the reader.
    FieldReader(const Json& object, std::function<int(const std::string&)> lineOf,
        std::vector<std::string>& problems);

    std::string requiredText(const std::string& name);
    std::string text(const std::string& name, std::string fallback);
    std::int64_t number(
        const std::string& name, std::int64_t fallback, std::int64_t least, std::int64_t most);
    double decimal(const std::string& name, double fallback, double least, double most);
    bool boolean(const std::string& name, bool fallback);
    std::vector<std::string> texts(const std::string& name);
    // Reports fields that were never asked for, with the nearest known name.
    void finish();
    // Logs fields that were never asked for, in one line; they have no effect.
    void logUnknown();
    // True when the object has the field; counts as asking for it.
    bool has(const std::string& name) { return find(name) != nullptr; }
    void problem(const std::string& field, const std::string& message);
    int lineOf(const std::string& field) const { return lineOf_(field); }

private:
    const Json* find(const std::string& name);

    const Json& object_;
    std::function<int(const std::string&)> lineOf_;
    std::vector<std::string>& problems_;
    std::set<std::string> known_;
};

} // namespace ragwortwinch::internal
