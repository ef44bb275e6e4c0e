// Client for a node's administration API, for the command line.
//
//     AdminClient client("127.0.0.1:8200");
//     Result<Json> status = client.get("/admin/v1/status");
#pragma once

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/net/http_client.h"

#include <memory>
#include <string>

namespace ragwortwinch {

class AdminClient {
public:
    // `address` is the host and operators' port of a node, such as "10.0.3.7:8200".
    explicit AdminClient(std::string address);

    // Block until the response arrives, 20 s at most. Return its JSON or the error that the node reported.
    Result<Json> get(const std::string& path);
    Result<Json> put(const std::string& path, std::string body);
    Result<Json> post(const std::string& path, std::string body);

private:
    Result<Json> call(HttpCallBuilder builder);

    std::string address_;
    std::unique_ptr<HttpClient> client_;
};

} // namespace ragwortwinch
