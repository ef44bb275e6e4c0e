// Client interface of the platform's key-value service: compare-and-swap, leases (keys that expire) and lists
// of keys by prefix.
//
//     std::unique_ptr<KeyValueStore> store = makeHttpKeyValueStore(client, "http://10.0.0.2:8000");
//     store->execute(StoreOp::get(1, "config/head"), [](StoreAnswer answer) { ... });
#pragma once

#include "ragwortwinch/net/http_client.h"
#include "ragwortwinch/store/store_op.h"

#include <functional>
#include <memory>
#include <string>

namespace ragwortwinch {

// Thread-safe. Callbacks run on a thread of the implementation and must not block.
class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;
    // Starts the operation and calls back once with its answer.
    virtual void execute(StoreOp, std::function<void(StoreAnswer)>) = 0;
};

// Returns a client of the service's HTTP interface. `client` must outlive it. Each write uses a new
// connection, since the HTTP library may resend a request when a reused connection has died. `timeout` limits
// each call.
std::unique_ptr<KeyValueStore> makeHttpKeyValueStore(
    HttpClient& client, std::string baseUrl, Millis timeout = Millis(1000));

} // namespace ragwortwinch
