// What the stand-in programs share: options, a server, and a wait for SIGTERM or SIGINT.
//
//     ProgramOptions options = readOptions(argc, argv, { { "port", "0" }, { "name", "engine-1" } });
//     return serve(options, handler);       // prints "listening port=12345" once it takes requests
#pragma once

#include "ragwortwinch/net/http_server.h"

#include <map>
#include <memory>
#include <string>

namespace ragwortwinch::stand_in {

using ProgramOptions = std::map<std::string, std::string>;

// Reads `--name value` pairs over the defaults; exits with 2 on an unknown option.
ProgramOptions readOptions(int argc, char** argv, ProgramOptions defaults);

// Serves until a signal to stop. Returns the exit code.
int serve(const ProgramOptions& options, std::shared_ptr<HttpHandler> handler);

} // namespace ragwortwinch::stand_in
