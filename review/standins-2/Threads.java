/** Threads that end with the process and hide the ends of connections. */
final class Threads {

    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (java.io.IOException | InterruptedException ended) {
                                // The peer has closed the connection.
                            } catch (Exception fault) {
                                fault.printStackTrace();
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
