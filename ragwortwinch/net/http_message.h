// HTTP messages, independent of the HTTP library in use.
//
//     HttpResponse response = jsonResponse(404, R"({"error":...})");
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ragwortwinch {

// Header fields in order. Names are case-insensitive.
class HttpHeaders {
public:
    using Field = std::pair<std::string, std::string>;

    void add(std::string name, std::string value) { fields_.emplace_back(std::move(name), std::move(value)); }
    // Returns the first value of `name`, or an empty string if there is none.
    std::string_view get(std::string_view name) const;
    bool has(std::string_view name) const;
    const std::vector<Field>& fields() const { return fields_; }

private:
    std::vector<Field> fields_;
};

struct HttpRequest {
    std::string method;
    // Percent-decoded, unlike `query`.
    std::string path;
    std::string query;
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

// Returns a response with a JSON body.
HttpResponse jsonResponse(int status, std::string body);

// Returns the value of `name` in a query such as `a=1&b=2`, percent-decoded; empty when absent.
std::string queryValue(std::string_view query, std::string_view name);

// Percent-encodes all but unreserved characters and '/'.
std::string percentEncode(std::string_view text);
std::string percentDecode(std::string_view text);

// ASCII case-insensitive comparison, as for header names.
bool equalsIgnoringCase(std::string_view, std::string_view);

} // namespace ragwortwinch
