// The main function of every test program. Broken invariants are fatal under test.
#define DOCTEST_CONFIG_IMPLEMENT
#include "ragwortwinch/base/invariant.h"

#include <doctest/doctest.h>

int main(int argc, char** argv)
{
    ragwortwinch::setInvariantMode(ragwortwinch::InvariantMode::Throw);
    doctest::Context context(argc, argv);
    return context.run();
}
