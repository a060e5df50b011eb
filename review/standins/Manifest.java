import java.util.Map;

/** The manifest of a small deployment. */
final class Manifest {
    private Manifest() {}

    static Map<String, Object> version(long version, String... extraRoutes) {
        String routes =
                "{'name':'quick','host':'desk.example','pathPrefix':'/quick/','kind':'streaming','service':'engines',"
                        + "'timeoutMs':12000,'sloMs':500,'gapSloMs':250,'attempts':2,'priority':0,'resumable':true,'sticky':true},"
                        + "{'name':'builder','host':'desk.example','pathPrefix':'/builder/','kind':'streaming','service':'engines',"
                        + "'timeoutMs':25000,'sloMs':3000,'gapSloMs':250,'attempts':1,'priority':1,'sticky':true},"
                        + "{'name':'booking','host':'desk.example','pathPrefix':'/booking/','kind':'non_idempotent','service':'desk',"
                        + "'timeoutMs':2000,'sloMs':400,'attempts':2,'priority':2},"
                        + "{'name':'stock','host':'desk.example','pathPrefix':'/stock/','kind':'idempotent','service':'desk',"
                        + "'timeoutMs':2000,'sloMs':400,'attempts':2,'priority':2}";
        for (String route : extraRoutes) {
            routes += "," + route;
        }
        return Json.object(
                "{'version':" + version + ",'routes':[" + routes + "],"
                        + "'services':[{'name':'desk','healthPath':'/healthz'},"
                        + "{'name':'engines','healthPath':'/healthz','engine':{'slots':48,'weightsMb':230000,'adapterSlots':8,'loadsPerS':4.8,"
                        + "'models':[{'name':'m0','weightsMb':65100,'loadS':6.0,'diskLoadS':0.8,'warmS':0.4,'adapters':0,'adapterMb':0},"
                        + "{'name':'m1','weightsMb':65100,'loadS':6.0,'diskLoadS':0.8,'warmS':0.4,'adapters':0,'adapterMb':0},"
                        + "{'name':'m2','weightsMb':65100,'loadS':6.0,'diskLoadS':0.8,'warmS':0.4,'adapters':0,'adapterMb':0}]}}],"
                        + "'tenants':[{'name':'hule930','apiKeys':['" + Client.KEY + "'],'ratePerS':0,'burst':0,'unit':'token_count','plainTokens':200}],"
                        + "'limits':{'maxHeaderBytes':16384,'maxBodyBytes':4194304,'headerTimeoutMs':5000,'idleTimeoutMs':30000}}");
    }
}
