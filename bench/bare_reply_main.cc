// An HTTP server that only sends a fixed response: the baseline for a node's processor time per request.
#include "testing/stand_in/program.h"

namespace {

class BareReply final : public ragwortwinch::HttpHandler {
public:
    void handle(ragwortwinch::HttpRequest, std::shared_ptr<ragwortwinch::HttpResponder> responder) override
    {
        responder->send(ragwortwinch::jsonResponse(200, R"({"service":"bare","id":"x","runs":1})"));
    }
};

} // namespace

int main(int argc, char** argv)
{
    return ragwortwinch::stand_in::serve(
        ragwortwinch::stand_in::readOptions(argc, argv, {{"port", "0"}}), std::make_shared<BareReply>());
}
