#include "policy_choice.h"

namespace parsleyglade {

std::vector<policy_choice> policyChoices()
{
    std::vector<policy_choice> choices(4);
    choices[0].name = "least-expected-work";
    choices[0].policy = least_expected_work{};
    choices[1].name = "two-queue-ageing";
    choices[1].policy = two_queue_ageing{};
    choices[2].name = "fifo-least-connections";
    choices[2].policy = least_connections{};
    choices[2].queue = queue_kind::fifo;
    choices[3].name = "fifo-round-robin";
    choices[3].policy = round_robin{};
    choices[3].queue = queue_kind::fifo;
    return choices;
}

} // namespace parsleyglade
