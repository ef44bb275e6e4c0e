// Command-line options and an HTTP server that runs until SIGTERM or SIGINT, for the stand-in programs.
//
//     ProgramOptions options = readOptions(argc, argv, { { "port", "0" }, { "name", "engine-1" } });
//     return serve(options, handler);       // prints "listening port=12345" once it accepts requests
#pragma once

#include "ragwortwinch/net/http_server.h"

#include <map>
#include <memory>
#include <string>

namespace ragwortwinch::stand_in {

using ProgramOptions = std::map<std::string, std::string>;

// Returns `defaults` with the values of `--name value` pairs; exits with 2 on an unknown option.
ProgramOptions readOptions(int argc, char** argv, ProgramOptions defaults);

// Serves until SIGTERM or SIGINT. Returns the exit code: 1 if the server can't start.
int serve(const ProgramOptions& options, std::shared_ptr<HttpHandler> handler);

} // namespace ragwortwinch::stand_in
