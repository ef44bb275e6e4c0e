#include "testing/stand_in/program.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace ragwortwinch::stand_in {

ProgramOptions readOptions(int argc, char** argv, ProgramOptions options)
{
    for (int index = 1; index + 1 < argc; index += 2) {
        std::string name(argv[index]);
        auto found = name.starts_with("--") ? options.find(name.substr(2)) : options.end();
        if (found == options.end()) {
            std::fprintf(
                stderr, "unknown option %s; main() of this program lists the valid ones\n", argv[index]);
            std::exit(2);
        }
        found->second = argv[index + 1];
    }
    return options;
}

int serve(const ProgramOptions& options, std::shared_ptr<HttpHandler> handler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return handleErrors(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(server,
                HttpServerBuilder()
                    .port(static_cast<std::uint16_t>(std::stoi(options.at("port"))))
                    .threads(2)
                    .handler(std::move(handler))
                    .start());
            std::printf("listening port=%u\n", static_cast<unsigned>(server->port()));
            std::fflush(stdout);
            int signal = 0;
            sigwait(&signals, &signal);
            return 0;
        },
        [](const Error& error) {
            std::fprintf(stderr, "%s\n", error.message.c_str());
            return 1;
        });
}

} // namespace ragwortwinch::stand_in
