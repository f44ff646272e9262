/* The interpreter of a node, with the signals of a server blocked from its first line on.

   Until the program installs handlers, a signal has its default action and ends the process. A
   blocked signal waits; `anvillug.early_signals` unblocks it. `build_interpreter.py` defines
   INTERPRETER, NUMBERS, those of the signals, and LIBRARY, unless it links the program with the
   static library of an interpreter that has no shared one. */

#ifdef LIBRARY
#include <dlfcn.h>
#endif
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

static const int numbers[] = {NUMBERS};

typedef int (*MainFunction)(int, char **);

#ifdef LIBRARY
/* Loaded only once signals are blocked, since a library that the program is linked with is loaded
   before `main`, which takes a millisecond. Extension modules need its symbols. */
static MainFunction main_of_interpreter(void)
{
    void *library = dlopen(LIBRARY, RTLD_NOW | RTLD_GLOBAL);
    MainFunction run = library ? (MainFunction)dlsym(library, "Py_BytesMain") : NULL;
    if (run == NULL)
        fprintf(stderr, "%s\n", dlerror());
    return run;
}
#else
int Py_BytesMain(int argument_count, char **arguments);

static MainFunction main_of_interpreter(void)
{
    return Py_BytesMain;
}
#endif

int main(int argument_count, char **arguments)
{
    const size_t count = sizeof numbers / sizeof *numbers;
    sigset_t blocked, before;
    sigemptyset(&blocked);
    for (size_t index = 0; index < count; index++)
        sigaddset(&blocked, numbers[index]);
    sigprocmask(SIG_BLOCK, &blocked, &before);

    /* Tells the program which of them its parent has not blocked. */
    char names[4 * sizeof numbers / sizeof *numbers + 1] = "";
    char *end = names;
    for (size_t index = 0; index < count; index++)
        if (!sigismember(&before, numbers[index]))
            end += sprintf(end, "%d ", numbers[index]);
    setenv("ANVILLUG_BLOCKED_AT_START", names, 1);

    MainFunction run = main_of_interpreter();
    if (run == NULL)
        return 127;
    /* The interpreter finds its modules by this path. */
    arguments[0] = INTERPRETER;
    return run(argument_count, arguments);
}
