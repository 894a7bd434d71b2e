#include <ragwortrelay/cli/commands.h>

int main(int argc, char **argv)
{
    return static_cast<int>(RagwortRelay::Cli::run({argv, argv + argc}));
}
