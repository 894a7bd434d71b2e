#include <ragwortrelay/detail/node/duties.h>

namespace RagwortRelay::Node::detail {

Progress claimExchange(Node & /*node*/, ExchangeId /*id*/, Exchange & /*exchange*/, TimePoint /*now*/, Actions & /*actions*/)
{
    return Progress::Continue;
}

}
