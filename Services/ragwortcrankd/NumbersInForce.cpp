#include "NumbersInForce.h"

#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"

std::map<std::string, std::uint64_t> numbersInForce(const daemon_state &daemon)
{
    std::map<std::string, std::uint64_t> numbers;
    if (daemon.hooks.numbersInForce) {
        numbers = daemon.hooks.numbersInForce();
    }
    numbers[daemon.daemonSettings.virtualMachine] = daemon.configuration.current()->number;
    return numbers;
}
